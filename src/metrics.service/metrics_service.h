#ifndef LYCHEESTEP_METRICS_SERVICE_H
#define LYCHEESTEP_METRICS_SERVICE_H

#include <string>
#include <system_error>

#include "lycheestep/service.h"
#include "metrics_registry.h"

namespace lycheestep {

// Registers a MetricsRegistry with the kernel as the service "metrics", so that
// other services find it by name.
class MetricsService
  : public Service
  , public MetricsRegistry
{
public:
  std::string Name() const override { return "metrics"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override {}
};

} // namespace lycheestep

#endif
