package org.endivehold.daemon.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.daemon.settings.Settings.Tls;

/** Rules between fields, and files that must be readable. */
final class SettingsRules {
    private SettingsRules() {}

    static List<SettingsFault> check(Settings settings) {
        List<SettingsFault> faults = new ArrayList<>();
        readable(faults, "/operators/tokenFile", settings.operators().tokenFile());
        settings.peers().tls().ifPresent(tls -> tlsFiles(faults, tls));
        if (settings.membership().renewMillis() * 2 > settings.membership().leaseMillis()) {
            faults.add(new SettingsFault("/membership/renewMillis", "must be at most half of leaseMillis"));
        }
        if (settings.limits().maxBodyBytes() > settings.limits().maxBufferedBytes()) {
            faults.add(new SettingsFault("/limits/maxBodyBytes", "must not exceed maxBufferedBytes"));
        }
        return faults;
    }

    private static void tlsFiles(List<SettingsFault> faults, Tls tls) {
        readable(faults, "/peers/tls/certificateFile", tls.certificateFile());
        readable(faults, "/peers/tls/keyFile", tls.keyFile());
        readable(faults, "/peers/tls/authorityFile", tls.authorityFile());
    }

    private static void readable(List<SettingsFault> faults, String path, String file) {
        if (!Files.isReadable(Path.of(file))) {
            faults.add(new SettingsFault(path, "cannot read the file " + file));
        }
    }
}
