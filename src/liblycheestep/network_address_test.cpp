// Tests which texts are addresses. Texts from outside reach network libraries
// only as addresses, so that no text may be taken for one by mistake.
#include "lycheestep/network_address.h"

#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <rapidcheck.h>

namespace lycheestep {

namespace {

// Texts that resemble addresses and are none.
std::vector<std::string> NoAddresses()
{
  return {
    "",
    ":",
    ":80",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:+80",
    "10.0.0.1:080",
    "10.0.0.1:80x",
    "10.0.0.1: 80",
    "10.0.0.1 :80",
    " 10.0.0.1:80",
    "10.0.0.1:80\r\n",
    "10.0.0.1\r\nX-Header: 1:80",
    "10.0.0.1:65536",
    "10.0.0.1:2147483648",
    "10.0.0.1:99999999999999999999",
    "shelf-17:1733612345678",
    "10.0.0:80",
    "10.0.0.1.1:80",
    "10.0.0.256:80",
    "10.0.0.1/path:80",
    "user@10.0.0.1:80",
    "http://10.0.0.1:80",
    "10.0.0.1:80:80",
    "[10.0.0.1]:80",
    "[]:80",
    "[::1:80",
    "::1]:80",
    "::1:80",
    "[fe80::1%eth0]:80",
    "-name:80",
    "name-:80",
    "na me:80",
    "a..b:80",
    ".a:80",
    std::string("10.0.0.1\0x:80", 13),
    std::string(64, 'a') + ":80",
    std::string(300, 'a') + ":80",
    std::string(70000, 'a'),
    std::string(70000, 'a') + ":80",
    "[" + std::string(70000, ':') + "]:80",
    "10.0.0.1:" + std::string(70000, '1'),
  };
}

// Generates texts of the characters that addresses consist of, and a few more.
rc::Gen<std::string> OddText()
{
  const std::string characters =
    std::string("0123456789.:[]abf-_ \r\n/@%", 25) + '\0';
  return rc::gen::container<std::string>(rc::gen::elementOf(characters));
}

} // namespace

TEST(NetworkAddress, ParsesHostAndPort)
{
  const auto numeric = NetworkAddress::Parse("10.128.0.9:8080");
  ASSERT_TRUE(numeric);
  EXPECT_EQ(numeric->Host(), "10.128.0.9");
  EXPECT_EQ(numeric->Port(), 8080);
  EXPECT_EQ(numeric->Text(), "10.128.0.9:8080");
  const auto ipv6 = NetworkAddress::Parse("[::1]:65535");
  ASSERT_TRUE(ipv6);
  EXPECT_EQ(ipv6->Host(), "::1");
  EXPECT_EQ(ipv6->Text(), "[::1]:65535");
  const auto name = NetworkAddress::Parse("store-1.example:1");
  ASSERT_TRUE(name);
  EXPECT_EQ(name->Text(), "store-1.example:1");
}

// Guards against a text that is taken for an address and then handed to a
// library which throws.
TEST(NetworkAddress, RejectsWhatIsNoAddress)
{
  for (const std::string& text : NoAddresses()) {
    const std::string shown = text.substr(0, 40);
    EXPECT_FALSE(NetworkAddress::Parse(text)) << shown;
    EXPECT_FALSE(NetworkAddress::ParseNumeric(text)) << shown;
    EXPECT_TRUE(NetworkAddress::ParseOrNone(text).IsNone()) << shown;
  }
}

// Guards against a name lookup that holds a thread.
TEST(NetworkAddress, NameIsNotNumeric)
{
  EXPECT_FALSE(NetworkAddress::ParseNumeric("localhost:80"));
  EXPECT_FALSE(NetworkAddress::ParseNumeric("shelf-17:80"));
  EXPECT_TRUE(NetworkAddress::ParseNumeric("127.0.0.1:80"));
  EXPECT_TRUE(NetworkAddress::ParseNumeric("[::1]:80"));
}

TEST(NetworkAddress, NoneHasNoText)
{
  EXPECT_TRUE(NetworkAddress().IsNone());
  EXPECT_EQ(NetworkAddress().Text(), "");
  EXPECT_EQ(NetworkAddress(), NetworkAddress::ParseOrNone("x"));
}

TEST(NetworkAddress, AnAddressIsTheTextItWasParsedFrom)
{
  const bool held = rc::check("an address has the text it was parsed from", [] {
    const std::string text = *OddText();
    const auto address = NetworkAddress::Parse(text);
    if (address) {
      RC_ASSERT(address->Text() == text);
      RC_ASSERT(address->Port() > 0);
      RC_ASSERT(address->Host().find_first_of(std::string("\r\n \0/@", 6)) ==
                std::string::npos);
    }
  });
  EXPECT_TRUE(held);
}

} // namespace lycheestep
