#include "catalogue_file.h"

#include <fstream>
#include <iterator>

#include "lycheestep/catalogue.h"
#include "lycheestep/document.h"

namespace lycheestep {

std::shared_ptr<const Catalogue> ReadCatalogueFile(const std::string& aFile,
                                                   std::string& aError)
{
  std::ifstream file(aFile);
  if (!file) {
    aError = aFile + " can't be opened";
    return nullptr;
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const CatalogueDocument document = ReadCatalogue(text, aFile);
  for (const DocumentProblem& problem : document.m_problems) {
    aError += aError.empty() ? "" : "; ";
    aError += problem.Describe();
  }
  return document.m_catalogue;
}

} // namespace lycheestep
