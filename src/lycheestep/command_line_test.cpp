#include "command_line.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

CommandLine Parsed(const std::vector<std::string>& aArguments)
{
  const ParsedCommandLine parsed = ParseCommandLine(aArguments);
  EXPECT_EQ(parsed.m_problem, "");
  return parsed.m_commandLine.value_or(CommandLine());
}

TEST(CommandLine, KnowsEveryCommand)
{
  EXPECT_EQ(Parsed({ "entry", "--settings", "s.json" }).m_file, "s.json");
  EXPECT_EQ(Parsed({ "local" }).m_command, Command::kLocal);
  EXPECT_EQ(Parsed({ "check", "a", "b" }).m_files.size(), 2U);
  EXPECT_EQ(Parsed({ "apply", "c.json", "--base", "7" }).m_baseVersion, 7U);
  EXPECT_EQ(Parsed({ "diff", "c.json" }).m_file, "c.json");
  EXPECT_EQ(Parsed({ "history" }).m_command, Command::kHistory);
  EXPECT_EQ(Parsed({ "show", "--json" }).m_json, true);
  EXPECT_EQ(Parsed({ "start", "w" }).m_command, Command::kStart);
  EXPECT_EQ(Parsed({ "stop", "w" }).m_command, Command::kStop);
  EXPECT_EQ(Parsed({ "drain", "báo giá" }).m_name, "báo giá");
  EXPECT_EQ(Parsed({ "announce", "w", "--customer", "c" }).m_customer, "c");
  EXPECT_EQ(Parsed({ "submit", "w", "--no-wait" }).m_wait, false);
  EXPECT_EQ(Parsed({ "result", "id" }).m_name, "id");
  EXPECT_EQ(Parsed({ "cancel", "id" }).m_command, Command::kCancel);
  EXPECT_EQ(Parsed({ "explain", "id" }).m_command, Command::kExplain);
  EXPECT_EQ(Parsed({ "status" }).m_server, "http://127.0.0.1:8080");
  EXPECT_EQ(Parsed({ "--version" }).m_command, Command::kVersion);
  EXPECT_EQ(Parsed({ "--help" }).m_command, Command::kHelp);
}

TEST(CommandLine, NamesWhatIsWrong)
{
  const std::vector<std::vector<std::string>> broken{
    {},
    { "fly" },
    { "entry" },
    { "announce", "w" },
    { "submit", "w", "--body", "a", "--body-file", "b" },
    { "submit", "w", "--deadline", "2" },
    { "local", "--port", "70000" },
    { "apply", "c", "--base", "-1" },
    { "status", "--timeout", "0s" },
  };
  for (const auto& arguments : broken) {
    const ParsedCommandLine parsed = ParseCommandLine(arguments);
    EXPECT_FALSE(parsed.m_commandLine.has_value());
    EXPECT_NE(parsed.m_problem, "");
  }
}

} // namespace
} // namespace lycheestep
