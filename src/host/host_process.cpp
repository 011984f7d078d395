#include "lycheestep/host_process.h"

#include <memory>
#include <utility>

#include "local_cluster.h"
#include "local_platform.h"
#include "local_targets.h"
#include "lycheestep/catalogue.h"
#include "lycheestep/control_thread.h"
#include "lycheestep/process_settings.h"
#include "process_runner.h"

namespace lycheestep {

int RunEntry(const ProcessSettings& aSettings)
{
  ProcessRunner runner(aSettings);
  runner.Add("log");
  runner.Add("metrics");
  runner.Add("platform");
  runner.Add("targets");
  runner.Add("peers");
  runner.AddControlThread();
  runner.Add("operator");
  runner.Add("gateway");
  return runner.Run([](ControlThread& /*aControl*/) {});
}

int RunLocal(const ProcessSettings& aSettings,
             std::shared_ptr<const Catalogue> aCatalogue)
{
  ProcessRunner runner(aSettings);
  runner.Add("log");
  runner.Add("metrics");
  runner.Add(std::make_unique<LocalPlatform>(MakeLocalTargets(aSettings)));
  runner.Add(std::make_unique<LocalTargets>(
    MakeLocalTargets(aSettings), [aCatalogue](const TaskStart& aStart) {
      return MakeLocalTaskBehaviour(*aCatalogue, aStart);
    }));
  runner.AddControlThread();
  runner.Add("operator");
  runner.Add("gateway");
  return runner.Run([&aCatalogue](ControlThread& aControl) {
    OperatorCommand apply;
    apply.m_verb = OperatorVerb::kApply;
    apply.m_operator = "local";
    apply.m_message = "the catalogue of the command line";
    apply.m_catalogue = aCatalogue;
    aControl.Post(OperatorAsked{ 0, apply });
  });
}

} // namespace lycheestep
