package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.endivehold.config.ObjectKind;

/** Publishes that an upstream is leaving: it finishes its work and gets no new work. */
@Command(name = "drain", description = "Let an upstream finish its work and get nothing new")
@Examples(
        examples = {"endivehold upstream drain engine-07 --wait"},
        descriptions = {"Returns when every live daemon has it in force; its streams go on to their end"})
public final class UpstreamDrainCommand extends StateEdit {
    /** Creates the command. */
    public UpstreamDrainCommand() {
        super(ObjectKind.UPSTREAM, "leaving");
    }
}
