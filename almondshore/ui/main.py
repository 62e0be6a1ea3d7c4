"""Entry point of the ``almondshore`` tool."""

import io
import os
import sys
import zlib
from collections.abc import Sequence
from typing import Annotated

import msgspec
from cyclopts import App, CycloptsError, Parameter

from almondshore import ui
from almondshore.core.errors import InvalidInputError, UserError
from almondshore.ui.commands import apply, check, diff, drain, history, moves, node, nodes, status
from almondshore.ui.context import PLATFORM_VARIABLE, Context, UsageError

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130

COMMANDS = {
    "check": check.check,
    "apply": apply.apply,
    "diff": diff.diff,
    "history": history.history,
    "status": status.status,
    "nodes": nodes.nodes,
    "node": node.node,
    "moves": moves.moves,
    "drain": drain.drain,
}


def build_app(context: Context) -> App:
    """Return the command-line application.

    :param context: passed to each command that has a parameter ``context``
    """
    app = App(name="almondshore", help=ui.__doc__, version_flags=[], result_action="return_value")
    for name, command in COMMANDS.items():
        app.command(command, name=name)

    @app.meta.default
    def launch(
        *tokens: Annotated[str, Parameter(show=False, allow_leading_hyphen=True)],
        platform: Annotated[str, Parameter(env_var=PLATFORM_VARIABLE)] = "",
    ) -> int:
        """Run a command.

        :param platform: URL of the platform
        """
        if not tokens:
            app.help_print([])
            return EXIT_USAGE
        context.url = platform
        command, bound, ignored = app.parse_args(tokens, exit_on_error=False, print_error=False)
        if "context" in ignored:
            bound.arguments["context"] = context
        return command(*bound.args, **bound.kwargs) or EXIT_OK

    return app


def run(tokens: Sequence[str] | None = None, *, context: Context | None = None) -> int:
    """Run the tool.

    :param tokens: arguments; those of the process by default
    :return: exit code: 0 success, 1 findings, refused change or failure, 2 wrong usage,
        130 interrupted
    """
    if context is None:
        for stream in (sys.stdout, sys.stderr):
            # Names may contain characters that the encoding of the terminal cannot represent.
            if isinstance(stream, io.TextIOWrapper):
                stream.reconfigure(errors="backslashreplace")
        context = Context()
    app = build_app(context)
    try:
        return app.meta(tokens, exit_on_error=False, print_error=False) or EXIT_OK
    except (CycloptsError, UsageError) as error:
        _print_error(context, str(error))
        return EXIT_USAGE
    except InvalidInputError as error:
        print(error, file=context.err)
        _print_error(context, f"refused with {len(error.findings)} findings")
    except UserError as error:
        _print_error(context, str(error))
    except (msgspec.MsgspecError, zlib.error) as error:
        _print_error(context, f"an object of the platform is malformed: {error}")
    except BrokenPipeError:
        # The reader has closed the pipe. Python flushes stdout at exit and would report this again,
        # so stdout is redirected to the null device.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except OSError as error:
        _print_error(context, f"cannot write the output: {error}")
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return EXIT_FAILURE


def _print_error(context: Context, message: str) -> None:
    first, *rest = message.strip().splitlines()
    print(f"almondshore: {first}", *rest, sep="\n", file=context.err)


if __name__ == "__main__":
    sys.exit(run())
