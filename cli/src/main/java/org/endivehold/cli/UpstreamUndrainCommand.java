package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.endivehold.config.ObjectKind;

/** Publishes that an upstream is serving, so that it gets new work again. */
@Command(name = "undrain", description = "Let an upstream take new work again")
@Examples(
        examples = {"endivehold upstream undrain engine-07"},
        descriptions = {"Publishes the change and returns at once"})
public final class UpstreamUndrainCommand extends StateEdit {
    /** Creates the command. */
    public UpstreamUndrainCommand() {
        super(ObjectKind.UPSTREAM, "serving");
    }
}
