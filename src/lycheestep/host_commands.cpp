#include <cstdlib>
#include <memory>

#include "command_line.h"
#include "commands.h"
#include "embedded_catalogue.h"
#include "lycheestep/document.h"
#include "lycheestep/host_process.h"
#include "lycheestep/process_settings.h"
#include "output.h"
#include "platform_main.h"
#include "text_file.h"

namespace lycheestep {

namespace {

constexpr const char* kLocalToken = "local-operator-token";

ExitCode ReportProblems(const std::vector<DocumentProblem>& aProblems,
                        Output& aOutput)
{
  for (const DocumentProblem& problem : aProblems) {
    aOutput.Error(problem.Describe());
  }
  return ExitCode::kInvalid;
}

ExitCode ReportUnreadable(const std::string& aFile, Output& aOutput)
{
  aOutput.Error(aFile + ": must be a file that can be read");
  return ExitCode::kInvalid;
}

ProcessSettings LocalSettings(const CommandLine& aCommandLine)
{
  const char* token = std::getenv("LYCHEESTEP_TOKEN");
  ProcessSettings settings;
  settings.m_scheduler.m_entry = EntryId("local");
  settings.m_scheduler.m_dataCentre = DataCentreName("local");
  settings.m_operatorToken = token != nullptr ? token : kLocalToken;
  settings.m_httpPort = aCommandLine.m_port;
  settings.m_logLevel = aCommandLine.m_logLevel;
  return settings;
}

bool IsLogLevel(const std::string& aText)
{
  return aText == "debug" || aText == "info" || aText == "warn" ||
         aText == "error";
}

} // namespace

ExitCode RunHostCommand(const CommandLine& aCommandLine, Output& aOutput)
{
  const std::string file =
    aCommandLine.m_file.empty() ? PlatformSettingsPath() : aCommandLine.m_file;
  if (file.empty()) {
    aOutput.Error("--settings FILE: must be given");
    return ExitCode::kInvalid;
  }
  return static_cast<ExitCode>(RunPlatformHost(file));
}

ExitCode RunEntryCommand(const CommandLine& aCommandLine, Output& aOutput)
{
  const auto text = ReadTextFile(aCommandLine.m_file);
  if (!text) {
    return ReportUnreadable(aCommandLine.m_file, aOutput);
  }
  const SettingsDocument read = ReadSettings(*text, aCommandLine.m_file);
  if (!read.m_settings) {
    return ReportProblems(read.m_problems, aOutput);
  }
  return static_cast<ExitCode>(RunEntry(*read.m_settings));
}

ExitCode RunLocalCommand(const CommandLine& aCommandLine, Output& aOutput)
{
  if (!IsLogLevel(aCommandLine.m_logLevel)) {
    aOutput.Error("--log-level must be debug, info, warn or error");
    return ExitCode::kInvalid;
  }
  std::string file = "built-in catalogue";
  std::string text = EmbeddedCatalogue();
  if (!aCommandLine.m_catalogueFile.empty()) {
    file = aCommandLine.m_catalogueFile;
    const auto given = ReadTextFile(file);
    if (!given) {
      return ReportUnreadable(file, aOutput);
    }
    text = *given;
  }
  const CatalogueDocument read = ReadCatalogue(text, file);
  if (!read.m_catalogue) {
    return ReportProblems(read.m_problems, aOutput);
  }
  const ProcessSettings settings = LocalSettings(aCommandLine);
  return static_cast<ExitCode>(RunLocal(settings, read.m_catalogue));
}

} // namespace lycheestep
