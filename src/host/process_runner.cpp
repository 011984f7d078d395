#include "process_runner.h"

#include <pthread.h>
#include <signal.h>

#include <iostream>
#include <memory>
#include <system_error>
#include <utility>

#include "lycheestep/control_thread.h"
#include "lycheestep/decision_log.h"
#include "lycheestep/service_factory.h"
#include "scheduler_core.h"

namespace lycheestep {

namespace {

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

ProcessRunner::ProcessRunner(const ProcessSettings& aSettings)
  : m_settings(aSettings)
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGHUP, SIG_IGN);
  signal(SIGPIPE, SIG_IGN);
}

void ProcessRunner::Add(const std::string& aName)
{
  std::unique_ptr<Service> service = MakeService(aName, m_settings);
  if (service) {
    Add(std::move(service));
  }
}

void ProcessRunner::Add(std::unique_ptr<Service> aService)
{
  m_kernel.Register(std::move(aService));
}

void ProcessRunner::AddControlThread()
{
  Add(std::make_unique<ControlThread>(
    std::make_unique<SchedulerCore>(m_settings.m_scheduler),
    m_settings.m_eventQueueLimit));
}

int ProcessRunner::Run(const std::function<void(ControlThread&)>& aOnStarted)
{
  const std::error_code error = m_kernel.Start();
  if (error) {
    std::cerr << "service " << m_kernel.FailedService()
              << " could not start: " << error.message() << "; check "
              << m_settings.m_httpHost << ":" << m_settings.m_httpPort
              << " and the settings\n";
    return 1;
  }
  auto& control = *m_kernel.Find<ControlThread>("control");
  LogProcessNote("entry host " + m_settings.m_scheduler.m_entry.Text() +
                   " listens at " + m_settings.m_httpHost + ":" +
                   std::to_string(m_settings.m_httpPort),
                 false);
  aOnStarted(control);
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
  return StopGracefully(control);
}

int ProcessRunner::StopGracefully(ControlThread& aControl)
{
  LogProcessNote("stopping", false);
  aControl.RequestStop();
  const bool completed =
    aControl.WaitForStop(m_settings.m_scheduler.m_stopLimit);
  LogProcessNote(completed ? "stopped"
                           : "the graceful stop exceeded its time limit",
                 !completed);
  m_kernel.Stop();
  return completed ? 0 : 1;
}

void ProcessRunner::LogProcessNote(const std::string& aText, bool aWarning)
{
  auto* log = m_kernel.Find<DecisionLog>("log");
  if (log) {
    log->Write(LogNote{ "process", aText, aWarning });
  }
}

} // namespace lycheestep
