package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.endivehold.config.ObjectKind;

/** Publishes that an availability zone is in, so that new work goes there again. */
@Command(name = "in", description = "Bring an availability zone back")
@Examples(
        examples = {"endivehold zone in quito-norte --wait"},
        descriptions = {"Returns when every live daemon has it in force"})
public final class ZoneInCommand extends StateEdit {
    /** Creates the command. */
    public ZoneInCommand() {
        super(ObjectKind.AVAILABILITY_ZONE, "in");
    }
}
