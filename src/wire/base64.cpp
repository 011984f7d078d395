#include "base64.h"

#include <openssl/evp.h>

#include <cstddef>

namespace lycheestep {

namespace {

const unsigned char* Bytes(const std::string& aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

// Returns the number of '=' characters at the end of aText.
std::size_t PaddingOf(const std::string& aText)
{
  const std::size_t last = aText.find_last_not_of('=');
  return last == std::string::npos ? aText.size() : aText.size() - last - 1;
}

} // namespace

std::string EncodeBase64(const std::string& aBytes)
{
  // Base64 takes four characters for every three bytes. OpenSSL also writes a
  // terminating zero byte.
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(&text[0]),
                                     Bytes(aBytes),
                                     static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> DecodeBase64(const std::string& aText)
{
  const std::size_t padding = PaddingOf(aText);
  if (aText.size() % 4 != 0 || padding > 2) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / 4 * 3 + 1, '\0');
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(&bytes[0]),
                    Bytes(aText),
                    static_cast<int>(aText.size()));
  if (length < 0) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

} // namespace lycheestep
