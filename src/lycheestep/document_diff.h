#ifndef LYCHEESTEP_DOCUMENT_DIFF_H
#define LYCHEESTEP_DOCUMENT_DIFF_H

#include <string>
#include <vector>

namespace lycheestep {

struct Catalogue;

// One difference between two catalogues. A side that has no such value is
// empty.
struct DocumentDifference
{
  // "kinds/stock-check/deadline".
  std::string m_path;
  // JSON text.
  std::string m_before;
  std::string m_after;
};

// Every value that differs, versions apart. Teams, customers and kinds are
// matched by name, so that their order does not matter.
std::vector<DocumentDifference> CompareCatalogues(const Catalogue& aBefore,
                                                  const Catalogue& aAfter);

} // namespace lycheestep

#endif
