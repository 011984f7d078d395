#include "metrics_service.h"

#include <memory>

#include "lycheestep/process_settings.h"
#include "lycheestep/service_factory.h"

namespace lycheestep {

namespace {

const ServiceRegistration kRegistration(
  "metrics",
  [](const ProcessSettings& /*aSettings*/) {
    return std::make_unique<MetricsService>();
  });

} // namespace

std::error_code MetricsService::Start(Kernel& /*aKernel*/)
{
  return {};
}

} // namespace lycheestep
