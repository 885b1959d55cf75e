package org.endivehold.daemon.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.daemon.settings.Settings.Tls;

/** Checks the rules that a schema cannot express: relations between fields, and whether files are readable. */
final class SettingsRules {
    private SettingsRules() {}

    static List<SettingsFault> check(Settings settings) {
        List<SettingsFault> faults = new ArrayList<>();
        requireReadable(faults, "/operators/tokenFile", settings.operators().tokenFile());
        settings.peers().tls().ifPresent(tls -> checkTlsFiles(faults, tls));
        if (settings.membership().renewMillis() * 2 > settings.membership().leaseMillis()) {
            faults.add(new SettingsFault("/membership/renewMillis", "must be at most half of leaseMillis"));
        }
        if (settings.limits().maxBodyBytes() > settings.limits().maxBufferedBytes()) {
            faults.add(new SettingsFault("/limits/maxBodyBytes", "must not exceed maxBufferedBytes"));
        }
        return faults;
    }

    private static void checkTlsFiles(List<SettingsFault> faults, Tls tls) {
        requireReadable(faults, "/peers/tls/certificateFile", tls.certificateFile());
        requireReadable(faults, "/peers/tls/keyFile", tls.keyFile());
        requireReadable(faults, "/peers/tls/authorityFile", tls.authorityFile());
    }

    private static void requireReadable(List<SettingsFault> faults, String path, String file) {
        if (!Files.isReadable(Path.of(file))) {
            faults.add(new SettingsFault(path, "cannot read the file " + file));
        }
    }
}
