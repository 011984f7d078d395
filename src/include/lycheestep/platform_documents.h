#ifndef LYCHEESTEP_PLATFORM_DOCUMENTS_H
#define LYCHEESTEP_PLATFORM_DOCUMENTS_H

#include <optional>
#include <string>

#include "lycheestep/queue_config.h"
#include "lycheestep/row_store.h"
#include "lycheestep/target_record.h"

namespace lycheestep {

// Reads the rows that the operators and the targets write, and knows where
// they are.
class PlatformDocuments
{
public:
  virtual ~PlatformDocuments() = default;

  // The table with the operators' configuration.
  virtual std::string ConfigTable() const = 0;

  // The configuration in a row of that table; nothing when the row is another
  // one or can't be read.
  virtual std::optional<ClusterConfig> ReadConfig(const Row& aRow) const = 0;

  // The table in which targets list themselves.
  virtual std::string TargetTable() const = 0;

  // The target in a row of that table; nothing when the row can't be read, so
  // that it names no target to use.
  virtual std::optional<TargetRecord> ReadTarget(const Row& aRow) const = 0;
};

} // namespace lycheestep

#endif
