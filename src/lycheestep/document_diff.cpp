#include "document_diff.h"

#include <set>

#include <nlohmann/json.hpp>

#include "lycheestep/catalogue.h"
#include "lycheestep/document.h"

namespace lycheestep {

namespace {

using nlohmann::json;

// The catalogue as nested objects only: lists of named items become objects
// keyed by name.
json ByName(const Catalogue& aCatalogue)
{
  json document = json::parse(WriteCatalogue(aCatalogue));
  document.erase("version");
  for (const char* list : { "teams", "customers", "kinds" }) {
    json items = json::object();
    for (json& item : document[list]) {
      const auto name = item["name"].get<std::string>();
      item.erase("name");
      items[name] = std::move(item);
    }
    document[list] = std::move(items);
  }
  return document;
}

std::string TextOf(const json* aValue)
{
  return aValue == nullptr ? "" : aValue->dump();
}

const json* Find(const json* aObject, const std::string& aKey)
{
  if (aObject == nullptr || !aObject->is_object()) {
    return nullptr;
  }
  const auto found = aObject->find(aKey);
  return found == aObject->end() ? nullptr : &*found;
}

void Compare(const std::string& aPath,
             const json* aBefore,
             const json* aAfter,
             std::vector<DocumentDifference>& aDifferences)
{
  const bool nested = aBefore != nullptr && aAfter != nullptr &&
                      aBefore->is_object() && aAfter->is_object();
  if (!nested) {
    if (TextOf(aBefore) != TextOf(aAfter)) {
      aDifferences.push_back({ aPath, TextOf(aBefore), TextOf(aAfter) });
    }
    return;
  }
  std::set<std::string> keys;
  for (const json* side : { aBefore, aAfter }) {
    for (const auto& member : side->items()) {
      keys.insert(member.key());
    }
  }
  for (const std::string& key : keys) {
    std::string path = aPath;
    path += aPath.empty() ? "" : "/";
    path += key;
    Compare(path, Find(aBefore, key), Find(aAfter, key), aDifferences);
  }
}

} // namespace

std::vector<DocumentDifference> CompareCatalogues(const Catalogue& aBefore,
                                                  const Catalogue& aAfter)
{
  const json before = ByName(aBefore);
  const json after = ByName(aAfter);
  std::vector<DocumentDifference> differences;
  Compare("", &before, &after, differences);
  return differences;
}

} // namespace lycheestep
