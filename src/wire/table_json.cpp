#include "table_json.h"

#include <cstdint>

#include <xxhash.h>

#include "base64.h"
#include "json_codec.h"

namespace lycheestep {

namespace {

using Json = nlohmann::json;

// Decodes a base64 value. Throws a nlohmann::json exception when the value is
// malformed, so that ParseJson returns nothing.
std::string DecodeValue(const Json& aJson)
{
  std::optional<std::string> bytes = DecodeBase64(aJson.get<std::string>());
  if (!bytes) {
    throw Json::type_error::create(302, "value is not base64", &aJson);
  }
  return *bytes;
}

TableWrite WriteFromJson(const Json& aJson)
{
  TableWrite write;
  write.m_key = aJson.at("key").get<std::string>();
  write.m_remove = aJson.value("remove", false);
  if (!write.m_remove) {
    write.m_value = DecodeValue(aJson.at("value"));
  }
  return write;
}

Json WriteToJson(const TableWrite& aWrite)
{
  if (aWrite.m_remove) {
    return { { "key", aWrite.m_key }, { "remove", true } };
  }
  return { { "key", aWrite.m_key }, { "value", EncodeBase64(aWrite.m_value) } };
}

TableRow RowFromJson(const Json& aJson)
{
  TableRow row;
  row.m_key = aJson.at("key").get<std::string>();
  row.m_value = DecodeValue(aJson.at("value"));
  row.m_version = aJson.at("version").get<std::uint64_t>();
  return row;
}

TargetListing TargetListingFromJson(const Json& aJson)
{
  TargetListing target;
  target.m_id = TargetId(aJson.at("id").get<std::string>());
  target.m_dataCentre =
    DataCentreName(aJson.at("data_centre").get<std::string>());
  target.m_rack = RackName(aJson.at("rack").get<std::string>());
  target.m_address = aJson.at("address").get<std::string>();
  target.m_capacity = ResourcesFromJson(aJson.at("capacity"));
  target.m_leaving = aJson.value("leaving", false);
  return target;
}

} // namespace

std::string EncodeTransaction(const TableTransaction& aTransaction)
{
  Json conditions = Json::array();
  for (const TableCondition& condition : aTransaction.m_conditions) {
    conditions.push_back(
      { { "key", condition.m_key }, { "version", condition.m_version } });
  }
  Json writes = Json::array();
  for (const TableWrite& write : aTransaction.m_writes) {
    writes.push_back(WriteToJson(write));
  }
  return DumpJson({ { "conditions", conditions }, { "writes", writes } });
}

std::optional<TableTransaction> DecodeTransaction(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    TableTransaction transaction;
    for (const Json& condition : aJson.at("conditions")) {
      transaction.m_conditions.push_back(
        { condition.at("key").get<std::string>(),
          condition.at("version").get<std::uint64_t>() });
    }
    for (const Json& write : aJson.at("writes")) {
      transaction.m_writes.push_back(WriteFromJson(write));
    }
    return transaction;
  });
}

std::string EncodeQuery(const TableQuery& aQuery)
{
  return DumpJson(
    { { "keys", aQuery.m_keys }, { "prefixes", aQuery.m_prefixes } });
}

std::optional<TableQuery> DecodeQuery(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    TableQuery query;
    query.m_keys = aJson.at("keys").get<std::vector<std::string>>();
    query.m_prefixes = aJson.at("prefixes").get<std::vector<std::string>>();
    return query;
  });
}

std::string EncodeTableAnswer(const TableAnswer& aAnswer)
{
  Json rows = Json::array();
  for (const TableRow& row : aAnswer.m_rows) {
    rows.push_back({ { "key", row.m_key },
                     { "value", EncodeBase64(row.m_value) },
                     { "version", row.m_version } });
  }
  const bool ok = aAnswer.m_status == TableStatus::kOk;
  return DumpJson({ { "status", ok ? "ok" : "conflict" }, { "rows", rows } });
}

std::optional<TableAnswer> DecodeTableAnswer(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    TableAnswer answer;
    const bool ok = aJson.at("status").get<std::string>() == "ok";
    answer.m_status = ok ? TableStatus::kOk : TableStatus::kConflict;
    for (const Json& row : aJson.at("rows")) {
      answer.m_rows.push_back(RowFromJson(row));
    }
    return answer;
  });
}

std::string EncodeTargetListQuery(const TargetListQuery& aQuery)
{
  return DumpJson(
    { { "data_centre", aQuery.m_dataCentre.Text() }, { "tag", aQuery.m_tag } });
}

std::optional<TargetListQuery> DecodeTargetListQuery(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    TargetListQuery query;
    query.m_dataCentre =
      DataCentreName(aJson.at("data_centre").get<std::string>());
    query.m_tag = aJson.at("tag").get<std::string>();
    return query;
  });
}

std::string TargetListTag(const std::string& aEncoded)
{
  return std::to_string(XXH64(aEncoded.data(), aEncoded.size(), 0));
}

std::string EncodeTargetList(const std::vector<TargetListing>& aTargets)
{
  Json targets = Json::array();
  for (const TargetListing& target : aTargets) {
    targets.push_back({ { "id", target.m_id.Text() },
                        { "data_centre", target.m_dataCentre.Text() },
                        { "rack", target.m_rack.Text() },
                        { "address", target.m_address },
                        { "capacity", ResourcesToJson(target.m_capacity) },
                        { "leaving", target.m_leaving } });
  }
  return DumpJson({ { "hosts", targets } });
}

std::optional<std::vector<TargetListing>> DecodeTargetList(
  const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    std::vector<TargetListing> targets;
    for (const Json& target : aJson.at("hosts")) {
      targets.push_back(TargetListingFromJson(target));
    }
    return targets;
  });
}

} // namespace lycheestep
