#ifndef LYCHEESTEP_TARGET_ADDRESS_H
#define LYCHEESTEP_TARGET_ADDRESS_H

#include <optional>
#include <string>

#include "lycheestep/network_address.h"
#include "lycheestep/row_store.h"
#include "lycheestep/target_record.h"

namespace lycheestep {

struct TargetState;

// What a leader stores of a target that it gives work to, so that the next
// leader can reach the target even if the platform's list lacks it.
struct TargetAddress
{
  TargetId m_target;
  NetworkAddress m_address;
  DataCentreName m_dataCentre;

  friend bool operator==(const TargetAddress& aLeft,
                         const TargetAddress& aRight)
  {
    return aLeft.m_target == aRight.m_target &&
           aLeft.m_address == aRight.m_address &&
           aLeft.m_dataCentre == aRight.m_dataCentre;
  }
};

// Returns the address of a target in the platform's list.
TargetAddress AddressOf(const TargetRecord& aRecord);

// Returns the address to which orders to the target go.
TargetAddress AddressOf(const TargetState& aTarget);

// Returns the key of the row that stores the target's address.
RowKey TargetAddressKey(const TargetId& aTarget);

// Returns the value of the row.
std::string EncodeTargetAddress(const TargetAddress& aAddress);

// Returns nothing if the row does not parse or names no address.
std::optional<TargetAddress> DecodeTargetAddress(const Row& aRow);

} // namespace lycheestep

#endif
