package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.endivehold.config.ObjectKind;

/** Publishes that an availability zone is out, so that no new work goes there. */
@Command(name = "out", description = "Take an availability zone out: no new work goes there")
@Examples(
        examples = {"endivehold zone out quito-norte --wait"},
        descriptions = {"Returns when every live daemon has it in force"})
public final class ZoneOutCommand extends StateEdit {
    /** Creates the command. */
    public ZoneOutCommand() {
        super(ObjectKind.AVAILABILITY_ZONE, "out");
    }
}
