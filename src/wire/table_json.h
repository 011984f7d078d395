#ifndef LYCHEESTEP_TABLE_JSON_H
#define LYCHEESTEP_TABLE_JSON_H

#include <optional>
#include <string>
#include <vector>

#include "lycheestep/table.h"
#include "lycheestep/target_protocol.h"

namespace lycheestep {

// These functions encode the platform's calls and answers as JSON text and
// decode them. Row keys are UTF-8 text, row values are base64. A Decode
// function returns nothing when the text is malformed.

// Format:
// {"conditions":[{"key","version"}],"writes":[{"key","value"|"remove"}]}
std::string EncodeTransaction(const TableTransaction& aTransaction);
std::optional<TableTransaction> DecodeTransaction(const std::string& aText);

// Format: {"keys":[...],"prefixes":[...]}
std::string EncodeQuery(const TableQuery& aQuery);
std::optional<TableQuery> DecodeQuery(const std::string& aText);

// Format: {"status":"ok"|"conflict","rows":[{"key","value","version"}]}
std::string EncodeTableAnswer(const TableAnswer& aAnswer);
std::optional<TableAnswer> DecodeTableAnswer(const std::string& aText);

// Asks the platform for the list of the targets of one data centre.
struct TargetListQuery
{
  DataCentreName m_dataCentre;
  // The TargetListTag of the list that the caller already has. The platform
  // sends no list when its own list has the same tag. When the tag is empty,
  // the platform always sends the list.
  std::string m_tag;
};

// Format: {"data_centre","tag"}
std::string EncodeTargetListQuery(const TargetListQuery& aQuery);
std::optional<TargetListQuery> DecodeTargetListQuery(const std::string& aText);

// Returns the tag of a list that EncodeTargetList made: a hash of the text, by
// which two different lists are told apart.
std::string TargetListTag(const std::string& aEncoded);

// Format:
// {"hosts":[{"id","data_centre","rack","address","capacity","leaving"}]}
std::string EncodeTargetList(const std::vector<TargetListing>& aTargets);
std::optional<std::vector<TargetListing>> DecodeTargetList(
  const std::string& aText);

} // namespace lycheestep

#endif
