#include "base/digest.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace vanillatack {

namespace {

using DigestBytes = std::array<unsigned char, EVP_MAX_MD_SIZE>;

std::string toString(const DigestBytes &bytes, unsigned length)
{
    return std::string(reinterpret_cast<const char *>(bytes.data()), length);
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    DigestBytes bytes{};
    unsigned length = 0;
    EVP_Digest(data.data(), data.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    return absl::BytesToHexString(toString(bytes, length));
}

std::string hmacSha256(std::string_view secret, std::string_view data)
{
    DigestBytes bytes{};
    unsigned length = 0;
    HMAC(EVP_sha256(),
         secret.data(),
         static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(data.data()),
         data.size(),
         bytes.data(),
         &length);
    return toString(bytes, length);
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace vanillatack
