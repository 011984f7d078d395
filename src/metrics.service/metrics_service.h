#ifndef LYCHEESTEP_METRICS_SERVICE_H
#define LYCHEESTEP_METRICS_SERVICE_H

#include <string>
#include <system_error>

#include "lycheestep/service.h"
#include "metrics_registry.h"

namespace lycheestep {

// The metrics of the process as a service that others find by name.
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
