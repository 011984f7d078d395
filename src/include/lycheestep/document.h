#ifndef LYCHEESTEP_DOCUMENT_H
#define LYCHEESTEP_DOCUMENT_H

#include <memory>
#include <string>
#include <vector>

namespace lycheestep {

struct Catalogue;
struct ProcessSettings;

// One thing that is wrong in a JSON document. Reading a document collects all
// of them.
struct DocumentProblem
{
  // The file as the user named it, or "request body".
  std::string m_file;
  // JSON pointer to the offending place; empty for the whole document.
  std::string m_pointer;
  // The offending value as JSON text, shortened if long.
  std::string m_value;
  // What is allowed there, as a sentence.
  std::string m_allowed;

  // "examples/a.json: /kinds/0/class: \"fast\": must be one of ...".
  std::string Describe() const;
};

// A catalogue, or all that is wrong with its text: m_catalogue is null exactly
// when m_problems is not empty.
struct CatalogueDocument
{
  std::shared_ptr<const Catalogue> m_catalogue;
  std::vector<DocumentProblem> m_problems;
};

// The settings of a process, or all that is wrong with their text.
struct SettingsDocument
{
  std::shared_ptr<const ProcessSettings> m_settings;
  std::vector<DocumentProblem> m_problems;
};

// Reads a catalogue from JSON text. aFile only names it in problems.
CatalogueDocument ReadCatalogue(const std::string& aText,
                                const std::string& aFile);

// Reads settings from JSON text. aFile only names it in problems.
SettingsDocument ReadSettings(const std::string& aText,
                              const std::string& aFile);

// Writes a catalogue as indented JSON that ReadCatalogue reads back the same.
std::string WriteCatalogue(const Catalogue& aCatalogue);

} // namespace lycheestep

#endif
