/// @file
/// Digests of keys and their text form.

#include "core/key_digest.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

TEST_CASE("a key's digest is its SHA-256", "[core]")
{
  // The first two are test vectors of FIPS 180-2.
  const auto [key, digest] = GENERATE(table<std::string, std::string>({
    { "abc", "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" },
    { "abcdbcdecdefdefgefghfghighijhijkijkljklmklmnlmnomnopnopq",
      "248d6a61d20638b8e5c026930c3e6039a33ce45964ff2167f6ecedd419db06c1" },
    { "", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855" },
  }));
  CHECK(ToText(DigestOf(key)) == "sha256:" + digest);
  CHECK(FromText("sha256:" + digest) == DigestOf(key));
}

TEST_CASE("a text that is no digest is not taken for one", "[core]")
{
  const std::string digits(64, 'a');
  const auto text = GENERATE_COPY(values<std::string>({
    "",
    digits,
    "sha256:",
    "sha256:" + digits + "a",
    "sha256:" + digits.substr(1),
    "sha256:" + digits.substr(1) + "g",
    "sha256:" + digits.substr(1) + " ",
    "SHA256:" + digits,
    " sha256:" + digits.substr(1),
  }));
  INFO(text);
  CHECK_FALSE(FromText(text));
}

TEST_CASE("digits of either case are read", "[core]")
{
  CHECK(FromText("sha256:" + std::string(64, 'A')) == FromText("sha256:" + std::string(64, 'a')));
}
