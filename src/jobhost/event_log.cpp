#include "event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/property.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <pthread.h>

#include <utility>

#include "boot_clock.h"
#include "lycheestep/metrics_sink.h"

namespace lycheestep {

namespace {

// Maximum numbers of lines in the queue and of lines accepted per second.
constexpr std::size_t kMaxQueuedLines = 4096;
constexpr std::size_t kMaxLinesPerSecond = 600;

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

} // namespace

EventLog::EventLog(const std::string& aHost, MetricsSink& aMetrics)
  : m_metrics(aMetrics)
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
  m_metrics.Count("lycheestep_events_total", "event=\"" + aEvent + '"', 1);
  const TimePoint now = BootClockNow();
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (!AdmitLine(now)) {
    ++m_dropped;
    return;
  }
  Queue(aEvent, aFields);
}

void EventLog::WriteUnlimited(const std::string& aEvent,
                              const std::string& aFields)
{
  m_metrics.Count("lycheestep_events_total", "event=\"" + aEvent + '"', 1);
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_lines.size() >= kMaxQueuedLines) {
    ++m_dropped;
    return;
  }
  Queue(aEvent, aFields);
}

void EventLog::Queue(const std::string& aEvent, const std::string& aFields)
{
  m_lines.push_back("event=" + aEvent + " " + aFields);
  if (m_lines.size() == 1) {
    m_lineReady.notify_one();
  }
}

bool EventLog::AdmitLine(TimePoint aNow)
{
  if (aNow - m_secondStart >= std::chrono::seconds(1)) {
    m_secondStart = aNow;
    m_linesInSecond = 0;
  }
  if (m_linesInSecond >= kMaxLinesPerSecond ||
      m_lines.size() >= kMaxQueuedLines) {
    return false;
  }
  ++m_linesInSecond;
  return true;
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
    std::deque<std::string> lines;
    lines.swap(m_lines);
    const std::uint64_t dropped = std::exchange(m_dropped, 0);
    lock.unlock();
    for (const std::string& line : lines) {
      LOG4CPLUS_INFO_STR(logger, line);
    }
    if (dropped > 0) {
      LOG4CPLUS_WARN_STR(
        logger, "event=log-lines-left-out count=" + std::to_string(dropped));
    }
    std::fflush(stdout);
    lock.lock();
  }
  m_finishedWriting = true;
  m_finished.notify_all();
}

} // namespace lycheestep
