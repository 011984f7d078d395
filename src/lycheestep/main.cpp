// The command line of lycheestep: reads the arguments and runs one
// subcommand.
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "command_line.h"
#include "commands.h"
#include "http_api_connection.h"
#include "output.h"
#include "text_file.h"

namespace lycheestep {

namespace {

// Spaces and line ends around a token are not part of it.
std::string Trim(const std::string& aText)
{
  constexpr const char* kBlank = " \t\r\n";
  const std::size_t first = aText.find_first_not_of(kBlank);
  if (first == std::string::npos) {
    return "";
  }
  return aText.substr(first, aText.find_last_not_of(kBlank) - first + 1);
}

// The operators' token; empty when the user has none, and no value when the
// file that was named can't be read.
std::optional<std::string> ReadToken(const CommandLine& aCommandLine)
{
  if (!aCommandLine.m_tokenFile.empty()) {
    const auto text = ReadTextFile(aCommandLine.m_tokenFile);
    return text ? std::optional<std::string>(Trim(*text)) : std::nullopt;
  }
  const char* token = std::getenv("LYCHEESTEP_TOKEN");
  return token != nullptr ? Trim(token) : "";
}

ExitCode RunClientCommand(const CommandLine& aCommandLine,
                          ApiConnection& aConnection,
                          Output& aOutput)
{
  switch (aCommandLine.m_command) {
    case Command::kApply:
      return RunApplyCommand(aCommandLine, aConnection, aOutput);
    case Command::kDiff:
      return RunDiffCommand(aCommandLine, aConnection, aOutput);
    case Command::kHistory:
      return RunHistoryCommand(aCommandLine, aConnection, aOutput);
    case Command::kShow:
      return RunShowCommand(aCommandLine, aConnection, aOutput);
    case Command::kSubmit:
      return RunSubmitCommand(aCommandLine, aConnection, aOutput);
    case Command::kResult:
      return RunResultCommand(aCommandLine, aConnection, aOutput);
    case Command::kCancel:
      return RunCancelCommand(aCommandLine, aConnection, aOutput);
    case Command::kExplain:
      return RunExplainCommand(aCommandLine, aConnection, aOutput);
    case Command::kStatus:
      return RunStatusCommand(aCommandLine, aConnection, aOutput);
    default:
      return RunWorkCommand(aCommandLine, aConnection, aOutput);
  }
}

ExitCode ConnectAndRun(const CommandLine& aCommandLine, Output& aOutput)
{
  const auto token = ReadToken(aCommandLine);
  if (!token) {
    aOutput.Error(aCommandLine.m_tokenFile +
                  ": must be a file that can be read");
    return ExitCode::kInvalid;
  }
  HttpApiConnection connection(
    aCommandLine.m_server, *token, aCommandLine.m_timeout);
  return RunClientCommand(aCommandLine, connection, aOutput);
}

ExitCode RunCommand(const CommandLine& aCommandLine, Output& aOutput)
{
  switch (aCommandLine.m_command) {
    case Command::kHelp:
      aOutput.Text(UsageText());
      return ExitCode::kDone;
    case Command::kVersion:
      aOutput.Line(std::string("lycheestep ") + LYCHEESTEP_VERSION);
      return ExitCode::kDone;
    case Command::kHost:
      return RunHostCommand(aCommandLine, aOutput);
    case Command::kEntry:
      return RunEntryCommand(aCommandLine, aOutput);
    case Command::kLocal:
      return RunLocalCommand(aCommandLine, aOutput);
    case Command::kCheck:
      return RunCheckCommand(aCommandLine, aOutput);
    default:
      return ConnectAndRun(aCommandLine, aOutput);
  }
}

ExitCode Main(const std::vector<std::string>& aArguments)
{
  Output output(std::cout, std::cerr);
  const ParsedCommandLine parsed = ParseCommandLine(aArguments);
  if (!parsed.m_commandLine) {
    output.Error(parsed.m_problem);
    return ExitCode::kInvalid;
  }
  return RunCommand(*parsed.m_commandLine, output);
}

} // namespace

} // namespace lycheestep

int main(int aCount, char** aValues)
{
  const std::vector<std::string> arguments(aValues + 1, aValues + aCount);
  return static_cast<int>(lycheestep::Main(arguments));
}
