package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Prints a shell script that completes the tool's command line; only bash is supported. */
@Command(name = "completion", description = "Print a completion script for a shell")
@Examples(
        examples = {"source <(endivehold completion bash)"},
        descriptions = {"Complete commands, options and directories in this shell"})
public final class CompletionCommand extends OperatorCommand {
    private static final String BASH =
            """
            _endivehold() {
                local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
                case $previous in
                    zone) COMPREPLY=($(compgen -W "out in" -- "$word")); return ;;
                    upstream) COMPREPLY=($(compgen -W "drain undrain" -- "$word")); return ;;
                    completion) COMPREPLY=($(compgen -W "bash" -- "$word")); return ;;
                    check|publish|diff) COMPREPLY=($(compgen -d -- "$word")); return ;;
                    --token-file) COMPREPLY=($(compgen -f -- "$word")); return ;;
                esac
                case $word in
                    -*) COMPREPLY=($(compgen -W "--daemon --token-file --json --wait --timeout --operator \\
            --publish-id --parent --revision --interval --count" -- "$word")) ;;
                    *) COMPREPLY=($(compgen -W "check publish diff history status top zone upstream trace completion \\
            help" -- "$word")) ;;
                esac
            }
            complete -F _endivehold endivehold
            """;

    @Arguments(title = "SHELL", description = "bash")
    @Required
    private String shell;

    @Override
    ExitCode run() throws EndiveholdException {
        if (!"bash".equals(shell)) {
            throw new ToolFailure(
                    ErrorType.OPERATOR_REQUEST, "no completion for " + shell, "run 'endivehold completion bash'");
        }
        environment().out().print(BASH);
        return ExitCode.OK;
    }
}
