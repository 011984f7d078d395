#ifndef LYCHEESTEP_TABLE_JSON_H
#define LYCHEESTEP_TABLE_JSON_H

#include <optional>
#include <string>
#include <vector>

#include "lycheestep/table.h"
#include "lycheestep/target_protocol.h"

namespace lycheestep {

// The platform's calls as JSON text. Keys are UTF-8, values are base64. A
// Decode function returns nothing when the text is malformed.

// {"conditions":[{"key","version"}],"writes":[{"key","value"|"remove"}]}
std::string EncodeTransaction(const TableTransaction& aTransaction);
std::optional<TableTransaction> DecodeTransaction(const std::string& aText);

// {"keys":[...],"prefixes":[...]}
std::string EncodeQuery(const TableQuery& aQuery);
std::optional<TableQuery> DecodeQuery(const std::string& aText);

// {"status":"ok"|"conflict","rows":[{"key","value","version"}]}
std::string EncodeTableAnswer(const TableAnswer& aAnswer);
std::optional<TableAnswer> DecodeTableAnswer(const std::string& aText);

// What an entry host asks of the list: the targets of its data centre, unless
// the list still has the tag. An empty tag always gets the list.
struct TargetListQuery
{
  DataCentreName m_dataCentre;
  std::string m_tag;
};

// {"data_centre","tag"}
std::string EncodeTargetListQuery(const TargetListQuery& aQuery);
std::optional<TargetListQuery> DecodeTargetListQuery(const std::string& aText);

// The tag of an encoded list: differs when the list does.
std::string TargetListTag(const std::string& aEncoded);

// {"hosts":[{"id","data_centre","rack","address","capacity","leaving"}]}
std::string EncodeTargetList(const std::vector<TargetListing>& aTargets);
std::optional<std::vector<TargetListing>> DecodeTargetList(
  const std::string& aText);

} // namespace lycheestep

#endif
