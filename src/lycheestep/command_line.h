#ifndef LYCHEESTEP_COMMAND_LINE_H
#define LYCHEESTEP_COMMAND_LINE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lycheestep/time_types.h"

namespace lycheestep {

// The subcommands of the program.
enum class Command
{
  kHelp,
  kVersion,
  kHost,
  kEntry,
  kLocal,
  kCheck,
  kApply,
  kDiff,
  kHistory,
  kShow,
  kStart,
  kStop,
  kDrain,
  kAnnounce,
  kSubmit,
  kResult,
  kCancel,
  kExplain,
  kStatus,
};

// What the user asked for. Fields that a command does not use keep their
// defaults.
struct CommandLine
{
  Command m_command = Command::kHelp;
  // kEntry, kHost: the settings. kApply, kDiff: the catalogue. kCheck: m_files.
  std::string m_file;
  std::vector<std::string> m_files;
  // kLocal: the catalogue; empty for the built-in one.
  std::string m_catalogueFile;
  // kLocal: where to listen, and how much to log.
  int m_port = 8080;
  std::string m_logLevel = "info";
  // The kind of work; for kResult, kCancel and kExplain the request's id.
  std::string m_name;
  std::string m_customer;
  // kApply.
  std::optional<std::uint64_t> m_baseVersion;
  std::string m_message;
  // kSubmit: a generated id when empty; the body as text or from a file.
  std::string m_id;
  std::string m_body;
  std::string m_bodyFile;
  std::string m_deadline;
  bool m_wait = true;
  // All client commands.
  std::string m_server;
  std::string m_tokenFile;
  std::string m_operator;
  Duration m_timeout = std::chrono::seconds(60);
  bool m_json = false;
};

// A command line, or what is wrong with it: m_problem is empty exactly when
// m_commandLine is set.
struct ParsedCommandLine
{
  std::optional<CommandLine> m_commandLine;
  std::string m_problem;
};

// Reads the arguments after the program's name.
ParsedCommandLine ParseCommandLine(const std::vector<std::string>& aArguments);

// The text of --help, which is also the grammar of the command line.
const char* UsageText();

} // namespace lycheestep

#endif
