"""Entry point of the ``almondshore`` tool."""

from collections.abc import Sequence
from typing import Annotated

from cyclopts import App, CycloptsError, Parameter

from almondshore import ui
from almondshore.core.errors import UserError
from almondshore.ui.commands import apply, check, history, status
from almondshore.ui.context import PLATFORM_VARIABLE, Context, UsageError

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2

COMMANDS = {
    "check": check.check,
    "apply": apply.apply,
    "history": history.history,
    "status": status.status,
}


def build_app(context: Context) -> App:
    """Return the command-line application.

    :param context: passed to each command
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
        context.url = platform
        command, bound, ignored = app.parse_args(tokens, exit_on_error=False, print_error=False)
        if "context" in ignored:
            bound.arguments["context"] = context
        return command(*bound.args, **bound.kwargs) or EXIT_DONE

    return app


def run(tokens: Sequence[str] | None = None, *, context: Context | None = None) -> int:
    """Run the tool.

    :param tokens: arguments; those of the process by default
    :returns: exit code: 0 done, 1 findings or refused change, 2 wrong usage
    """
    context = context or Context()
    app = build_app(context)
    try:
        return app.meta(tokens, exit_on_error=False, print_error=False)
    except (CycloptsError, UsageError) as error:
        print(f"almondshore: {error}", file=context.err)
        return EXIT_USAGE
    except UserError as error:
        print(f"almondshore: {error}", file=context.err)
        return EXIT_REFUSED
