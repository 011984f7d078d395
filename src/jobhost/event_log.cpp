#include "event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/property.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <pthread.h>

#include <chrono>
#include <utility>

#include "boot_clock.h"
#include "lycheestep/metrics_sink.h"

namespace lycheestep {

namespace {

// Maximum numbers of lines in the queue, also before a routine line is added,
// and of routine and of notable lines accepted per second.
constexpr std::size_t kMaxQueuedLines = 4096;
constexpr std::size_t kMaxQueuedBeforeRoutine = kMaxQueuedLines / 2;
constexpr std::size_t kMaxRoutineLinesPerSecond = 600;
constexpr std::size_t kMaxNotableLinesPerSecond = 600;

// The writer waits this long for further lines, so that it wakes seldom.
constexpr Duration kBatchDelay = std::chrono::milliseconds(50);

log4cplus::Logger MakeLogger(const std::string& aHost)
{
  log4cplus::Logger logger = log4cplus::Logger::getInstance("events");
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(false, false));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    "%D{%H:%M:%S.%q} host=" + aHost + " %m%n"));
  logger.removeAllAppenders();
  logger.addAppender(appender);
  logger.setAdditivity(false);
  return logger;
}

// Appends a line whose time is that of the event, not that of the writing.
void Append(const log4cplus::Logger& aLogger,
            log4cplus::LogLevel aLevel,
            std::chrono::system_clock::time_point aTime,
            const std::string& aText)
{
  const log4cplus::helpers::Time time =
    std::chrono::time_point_cast<log4cplus::helpers::Duration>(aTime);
  aLogger.callAppenders(log4cplus::spi::InternalLoggingEvent(
    aLogger.getName(),
    aLevel,
    "",
    log4cplus::MappedDiagnosticContextMap(),
    aText,
    "",
    "",
    time,
    "",
    0));
}

} // namespace

EventLog::EventLog(const std::string& aHost, MetricsSink& aMetrics)
  : m_metrics(aMetrics)
  , m_routineLimit(kMaxRoutineLinesPerSecond)
  , m_notableLimit(kMaxNotableLinesPerSecond)
{
  log4cplus::initialize();
  MakeLogger(aHost);
  m_thread = std::thread([this] { Run(); });
  pthread_setname_np(m_thread.native_handle(), "log");
}

EventLog::~EventLog()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_lineReady.notify_one();
  m_thread.join();
}

void EventLog::Finish(Duration aTimeout)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  m_stopping = true;
  m_lineReady.notify_one();
  m_finished.wait_for(lock, aTimeout, [this] { return m_finishedWriting; });
}

void EventLog::Write(const std::string& aEvent, const std::string& aFields)
{
  WriteWithin(m_routineLimit, aEvent, aFields);
}

void EventLog::WriteNotable(const std::string& aEvent,
                            const std::string& aFields)
{
  WriteWithin(m_notableLimit, aEvent, aFields);
}

void EventLog::WriteUnlimited(const std::string& aEvent,
                              const std::string& aFields)
{
  m_metrics.Count("lycheestep_events_total", "event=\"" + aEvent + '"', 1);
  const std::lock_guard<std::mutex> lock(m_mutex);
  Queue(aEvent, aFields);
}

void EventLog::WriteWithin(LineLimit& aLimit,
                           const std::string& aEvent,
                           const std::string& aFields)
{
  m_metrics.Count("lycheestep_events_total", "event=\"" + aEvent + '"', 1);
  const TimePoint now = BootClockNow();
  const std::lock_guard<std::mutex> lock(m_mutex);
  const bool isCrowded =
    &aLimit == &m_routineLimit && m_lines.size() >= kMaxQueuedBeforeRoutine;
  if (isCrowded || !aLimit.Admit(now)) {
    ++m_dropped;
    return;
  }
  Queue(aEvent, aFields);
}

void EventLog::Queue(const std::string& aEvent, const std::string& aFields)
{
  if (m_lines.size() >= kMaxQueuedLines) {
    ++m_dropped;
    return;
  }
  m_lines.push_back(Line{ std::chrono::system_clock::now(),
                          "event=" + aEvent + " " + aFields });
  if (m_lines.size() == 1) {
    m_lineReady.notify_one();
  }
}

void EventLog::Run()
{
  const log4cplus::Logger logger = log4cplus::Logger::getInstance("events");
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopping || !m_lines.empty()) {
    m_lineReady.wait(lock, [this] { return m_stopping || !m_lines.empty(); });
    if (!m_stopping) {
      m_lineReady.wait_for(lock, kBatchDelay, [this] { return m_stopping; });
    }
    std::deque<Line> lines;
    lines.swap(m_lines);
    const std::uint64_t dropped = std::exchange(m_dropped, 0);
    lock.unlock();
    for (const Line& line : lines) {
      Append(logger, log4cplus::INFO_LOG_LEVEL, line.m_time, line.m_text);
    }
    if (dropped > 0) {
      Append(logger,
             log4cplus::WARN_LOG_LEVEL,
             std::chrono::system_clock::now(),
             "event=log-lines-left-out count=" + std::to_string(dropped));
    }
    std::fflush(stdout);
    lock.lock();
  }
  m_finishedWriting = true;
  m_finished.notify_all();
}

} // namespace lycheestep
