#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <gtest/gtest.h>

#include "lycheestep/catalogue.h"
#include "lycheestep/document.h"
#include "lycheestep/process_settings.h"

namespace lycheestep {
namespace {

std::string TextOf(const std::filesystem::path& aFile)
{
  std::ifstream stream(aFile);
  return { std::istreambuf_iterator<char>(stream), {} };
}

// Expects that one example file has no problems, and increments aCatalogues or
// aSettings according to the file name.
void CheckExample(const std::filesystem::path& aFile,
                  int& aCatalogues,
                  int& aSettings)
{
  const std::string name = aFile.filename().string();
  if (name == "catalogue.json") {
    const auto read = ReadCatalogue(TextOf(aFile), aFile.string());
    for (const DocumentProblem& problem : read.m_problems) {
      ADD_FAILURE() << problem.Describe();
    }
    ASSERT_NE(read.m_catalogue, nullptr);
    EXPECT_EQ(read.m_catalogue->m_kinds.size(), 3U);
    ++aCatalogues;
    return;
  }
  const auto read = ReadSettings(TextOf(aFile), aFile.string());
  for (const DocumentProblem& problem : read.m_problems) {
    ADD_FAILURE() << problem.Describe();
  }
  ASSERT_NE(read.m_settings, nullptr);
  EXPECT_EQ(read.m_settings->m_scheduler.m_peers.size(), 7U);
  ++aSettings;
}

TEST(Examples, EveryFileIsValid)
{
  for (const char* firm : { "phan-viet", "ozolins" }) {
    int catalogues = 0;
    int settings = 0;
    const auto folder = std::filesystem::path(LYCHEESTEP_EXAMPLES) / firm;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
      CheckExample(entry.path(), catalogues, settings);
    }
    EXPECT_EQ(catalogues, 1) << firm;
    EXPECT_EQ(settings, 8) << firm;
  }
}

} // namespace
} // namespace lycheestep
