#ifndef LYCHEESTEP_CONFIG_HOLDER_H
#define LYCHEESTEP_CONFIG_HOLDER_H

#include <memory>
#include <mutex>
#include <string>

#include "lycheestep/queue_config.h"

namespace lycheestep {

// The configuration in force, for any thread. An older version never replaces
// a newer one.
class ConfigHolder
{
public:
  // True when it took effect.
  bool Put(const ClusterConfig& aConfig);

  // Null until the first one has come.
  std::shared_ptr<const ClusterConfig> Get() const;

private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const ClusterConfig> m_config;
};

// The queue that a caller means by its Host header (a port in it does not
// count) and path: the one with the longest matching prefix. Null for none.
const QueueConfig* FindQueue(const ClusterConfig& aConfig,
                             const std::string& aHostHeader,
                             const std::string& aPath);

} // namespace lycheestep

#endif
