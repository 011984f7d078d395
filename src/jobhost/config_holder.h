#ifndef LYCHEESTEP_CONFIG_HOLDER_H
#define LYCHEESTEP_CONFIG_HOLDER_H

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "lycheestep/queue_config.h"

namespace lycheestep {

// Holds the configuration in force. An older version never replaces a newer
// one. Safe from any thread.
class ConfigHolder
{
public:
  // Replaces the configuration in force if aConfig has a higher version or is
  // the first one. Returns true if aConfig took effect.
  bool Put(const ClusterConfig& aConfig);

  // Returns the configuration in force, or null before the first Put.
  std::shared_ptr<const ClusterConfig> Get() const;

  // Returns the version of the configuration in force, zero before the first
  // Put.
  std::uint64_t Version() const;

private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const ClusterConfig> m_config;
};

// Returns the queue that a request addresses by its Host header and path. A
// port in the header is ignored. If several queues match, the one with the
// longest path prefix is returned; if none matches, null.
const QueueConfig* FindQueue(const ClusterConfig& aConfig,
                             const std::string& aHostHeader,
                             const std::string& aPath);

} // namespace lycheestep

#endif
