#include "schema_check.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "json_text.h"

namespace lycheestep {

namespace {

using nlohmann::json;
using Tokens = std::vector<std::string>;

// Starts of the error texts of valijson. It reports kMemberFailed for an object
// or list if one of its members has an error, which it reports as well.
constexpr std::string_view kMemberFailed = "Failed to validate";
constexpr std::string_view kMissingKey = "Missing required property";
constexpr std::string_view kUnknownKey = "Object contains a property";

bool StartsWith(const std::string& aText, std::string_view aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

// Converts the context of a valijson error to reference tokens:
// ["<root>", "[kinds]", "[0]"] becomes ["kinds", "0"].
Tokens TokensOf(const std::vector<std::string>& aContext)
{
  Tokens tokens;
  for (std::size_t i = 1; i < aContext.size(); ++i) {
    tokens.push_back(aContext[i].substr(1, aContext[i].size() - 2));
  }
  return tokens;
}

std::string PointerOf(const Tokens& aTokens)
{
  std::string pointer;
  for (const std::string& token : aTokens) {
    pointer = AppendToken(pointer, token);
  }
  return pointer;
}

// Returns the node that the "$ref" of aNode refers to within the schema aRoot,
// or aNode if it has no "$ref".
const json& Resolve(const json& aRoot, const json& aNode)
{
  const auto reference = aNode.find("$ref");
  if (reference == aNode.end()) {
    return aNode;
  }
  const auto text = reference->get<std::string>();
  return aRoot.at(json::json_pointer(text.substr(1)));
}

// Returns the part of the schema aRoot that applies to the value at aTokens.
const json& SchemaAt(const json& aRoot, const Tokens& aTokens)
{
  const json* node = &aRoot;
  for (const std::string& token : aTokens) {
    const json& resolved = Resolve(aRoot, *node);
    const bool isList = resolved.contains("items");
    node =
      isList ? &resolved.at("items") : &resolved.at("properties").at(token);
  }
  return Resolve(aRoot, *node);
}

std::string DescriptionOf(const json& aNode)
{
  return aNode.value("description", "has a wrong value");
}

std::string ListOfKeys(const json& aProperties)
{
  std::string list;
  for (const auto& property : aProperties.items()) {
    list += list.empty() ? "" : ", ";
    list += property.key();
  }
  return list;
}

// Converts the errors that valijson reports for one document to problems.
class ErrorTranslator
{
public:
  ErrorTranslator(const json& aSchema,
                  const json& aDocument,
                  ProblemList& aProblems)
    : m_schema(aSchema)
    , m_document(aDocument)
    , m_problems(aProblems)
  {
  }

  void Translate(const valijson::ValidationResults::Error& aError)
  {
    if (StartsWith(aError.description, kMemberFailed)) {
      return;
    }
    const Tokens tokens = TokensOf(aError.context);
    const std::string pointer = PointerOf(tokens);
    const json& node = SchemaAt(m_schema, tokens);
    const json& value = m_document.at(json::json_pointer(pointer));
    if (StartsWith(aError.description, kMissingKey)) {
      AddMissingKeys(pointer, node, value);
    } else if (StartsWith(aError.description, kUnknownKey)) {
      AddUnknownKeys(pointer, node, value);
    } else {
      m_problems.Add(pointer, value, DescriptionOf(node));
    }
  }

private:
  void AddMissingKeys(const std::string& aPointer,
                      const json& aNode,
                      const json& aValue)
  {
    for (const json& required : aNode.at("required")) {
      const auto key = required.get<std::string>();
      if (aValue.contains(key)) {
        continue;
      }
      const json& property = Resolve(m_schema, aNode.at("properties").at(key));
      m_problems.AddText(
        AppendToken(aPointer, key), "(missing)", DescriptionOf(property));
    }
  }

  void AddUnknownKeys(const std::string& aPointer,
                      const json& aNode,
                      const json& aValue)
  {
    const json& properties = aNode.at("properties");
    for (const auto& member : aValue.items()) {
      if (!properties.contains(member.key())) {
        m_problems.Add(AppendToken(aPointer, member.key()),
                       member.value(),
                       "unknown key; known here: " + ListOfKeys(properties));
      }
    }
  }

  const json& m_schema;
  const json& m_document;
  ProblemList& m_problems;
};

} // namespace

class DocumentSchema::Parsed
{
public:
  explicit Parsed(const char* aText)
    : m_document(json::parse(aText))
  {
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(m_document),
                          m_schema);
  }

  const json m_document;
  valijson::Schema m_schema;
};

DocumentSchema::DocumentSchema(const char* aText)
  : m_parsed(std::make_unique<const Parsed>(aText))
{
}

DocumentSchema::~DocumentSchema() = default;

void DocumentSchema::Check(const json& aDocument, ProblemList& aProblems) const
{
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter document(aDocument);
  if (validator.validate(m_parsed->m_schema, document, &results)) {
    return;
  }
  ErrorTranslator translator(m_parsed->m_document, aDocument, aProblems);
  for (const auto& error : results) {
    translator.Translate(error);
  }
}

} // namespace lycheestep
