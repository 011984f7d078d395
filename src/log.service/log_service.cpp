#include "log_service.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <pthread.h>

#include <cstddef>
#include <utility>

#include "log_format.h"
#include "lycheestep/process_settings.h"
#include "lycheestep/service_factory.h"

namespace lycheestep {

namespace {

const ServiceRegistration kRegistration("log",
                                        [](const ProcessSettings& aSettings) {
                                          return std::make_unique<LogService>(
                                            aSettings);
                                        });

// The capacity of the queue, in lines.
constexpr std::size_t kMaxQueuedLines = 65536;

constexpr const char* kTextPattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n";
constexpr const char* kJsonPattern = "%m%n";

bool IsInfoEnabled(const std::string& aLevel)
{
  return aLevel == "info" || aLevel == "debug";
}

} // namespace

// Sets up log4cplus and writes lines to it. The class is defined here so that
// log_service.h doesn't include log4cplus.
class LogService::Output
{
public:
  explicit Output(bool aJson)
    : m_hierarchy(log4cplus::Logger::getDefaultHierarchy())
  {
    const char* pattern = aJson ? kJsonPattern : kTextPattern;
    log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    m_hierarchy.getRoot().removeAllAppenders();
    m_hierarchy.getRoot().addAppender(appender);
    m_hierarchy.getRoot().setLogLevel(log4cplus::ALL_LOG_LEVEL);
  }

  void Write(const Line& aLine)
  {
    const auto level =
      aLine.m_warning ? log4cplus::WARN_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
    m_hierarchy.getInstance(aLine.m_part).log(level, aLine.m_text);
  }

private:
  log4cplus::Initializer m_initializer;
  log4cplus::Hierarchy& m_hierarchy;
};

LogService::LogService(const ProcessSettings& aSettings)
  : m_level(aSettings.m_logLevel)
  , m_json(aSettings.m_logJson)
{
}

LogService::~LogService()
{
  Stop();
}

std::error_code LogService::Start(Kernel& /*aKernel*/)
{
  m_output = std::make_unique<Output>(m_json);
  m_stopping = false;
  m_thread = std::thread([this] { Run(); });
  pthread_setname_np(m_thread.native_handle(), "log");
  return {};
}

void LogService::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_lineReady.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void LogService::Write(const LogDecision& aDecision)
{
  if (!IsInfoEnabled(m_level)) {
    return;
  }
  Add({ PrefixOf(aDecision.m_decision),
        m_json ? DecisionToJson(aDecision) : DescribeDecision(aDecision),
        false });
}

void LogService::Write(const LogNote& aNote)
{
  const bool shown =
    aNote.m_warning ? m_level != "error" : IsInfoEnabled(m_level);
  if (shown) {
    Add({ aNote.m_part,
          m_json ? NoteToJson(aNote) : aNote.m_text,
          aNote.m_warning });
  }
}

void LogService::Add(Line aLine)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_lines.size() >= kMaxQueuedLines) {
      ++m_dropped;
      return;
    }
    m_lines.push_back(std::move(aLine));
  }
  m_lineReady.notify_one();
}

void LogService::Run()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  while (true) {
    m_lineReady.wait(lock, [this] { return m_stopping || !m_lines.empty(); });
    if (m_lines.empty()) {
      return;
    }
    const std::deque<Line> lines = std::exchange(m_lines, {});
    const std::uint64_t dropped = std::exchange(m_dropped, 0);
    lock.unlock();
    for (const Line& line : lines) {
      m_output->Write(line);
    }
    if (dropped > 0) {
      m_output->Write(
        { "log", std::to_string(dropped) + " lines were dropped", true });
    }
    lock.lock();
  }
}

} // namespace lycheestep
