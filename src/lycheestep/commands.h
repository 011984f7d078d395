#ifndef LYCHEESTEP_COMMANDS_H
#define LYCHEESTEP_COMMANDS_H

#include "exit_code.h"

namespace lycheestep {

struct CommandLine;
class ApiConnection;
class Output;

// Each function runs one subcommand, prints its result and returns the exit
// code of the process.

// host, entry and local: run until a signal ends the process.
ExitCode RunHostCommand(const CommandLine& aCommandLine, Output& aOutput);
ExitCode RunEntryCommand(const CommandLine& aCommandLine, Output& aOutput);
ExitCode RunLocalCommand(const CommandLine& aCommandLine, Output& aOutput);

// check: all problems of all files, a line each.
ExitCode RunCheckCommand(const CommandLine& aCommandLine, Output& aOutput);

// apply, diff, history, show.
ExitCode RunApplyCommand(const CommandLine& aCommandLine,
                         ApiConnection& aConnection,
                         Output& aOutput);
ExitCode RunDiffCommand(const CommandLine& aCommandLine,
                        ApiConnection& aConnection,
                        Output& aOutput);
ExitCode RunHistoryCommand(const CommandLine& aCommandLine,
                           ApiConnection& aConnection,
                           Output& aOutput);
ExitCode RunShowCommand(const CommandLine& aCommandLine,
                        ApiConnection& aConnection,
                        Output& aOutput);

// start, stop, drain, announce.
ExitCode RunWorkCommand(const CommandLine& aCommandLine,
                        ApiConnection& aConnection,
                        Output& aOutput);

// status.
ExitCode RunStatusCommand(const CommandLine& aCommandLine,
                          ApiConnection& aConnection,
                          Output& aOutput);

// submit, result, cancel.
ExitCode RunSubmitCommand(const CommandLine& aCommandLine,
                          ApiConnection& aConnection,
                          Output& aOutput);
ExitCode RunResultCommand(const CommandLine& aCommandLine,
                          ApiConnection& aConnection,
                          Output& aOutput);
ExitCode RunCancelCommand(const CommandLine& aCommandLine,
                          ApiConnection& aConnection,
                          Output& aOutput);

// explain.
ExitCode RunExplainCommand(const CommandLine& aCommandLine,
                           ApiConnection& aConnection,
                           Output& aOutput);

} // namespace lycheestep

#endif
