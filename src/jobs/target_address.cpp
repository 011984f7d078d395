#include "target_address.h"

#include "job_rows.h"
#include "jobs.pb.h"
#include "target_state.h"

namespace lycheestep {

TargetAddress AddressOf(const TargetRecord& aRecord)
{
  return TargetAddress{ aRecord.m_target,
                        aRecord.m_address,
                        aRecord.m_dataCentre };
}

TargetAddress AddressOf(const TargetState& aTarget)
{
  return TargetAddress{ aTarget.m_record.m_target,
                        aTarget.Address(),
                        aTarget.m_record.m_dataCentre };
}

RowKey TargetAddressKey(const TargetId& aTarget)
{
  return RowKey{ kTargetAddressTable, "", aTarget.Text() };
}

std::string EncodeTargetAddress(const TargetAddress& aAddress)
{
  proto::TargetAddressRow row;
  row.set_address(aAddress.m_address.Text());
  row.set_data_centre(aAddress.m_dataCentre.Text());
  return row.SerializeAsString();
}

std::optional<TargetAddress> DecodeTargetAddress(const Row& aRow)
{
  proto::TargetAddressRow row;
  if (!row.ParseFromString(aRow.m_value)) {
    return std::nullopt;
  }
  const auto address = NetworkAddress::ParseNumeric(row.address());
  if (!address) {
    return std::nullopt;
  }
  return TargetAddress{ TargetId(aRow.m_key.m_key),
                        *address,
                        DataCentreName(row.data_centre()) };
}

} // namespace lycheestep
