#include "documents/documentssetup.h"
#include "documents/keygrant.h"

#include "base/digest.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;

TEST_GROUP(Keyring)
{
    SeededRandom random{5};
    std::unique_ptr<IKeyring> keyring = makeKeyring();
};

// Guards against storing the key itself in the document, and against records altered by serialization.
TEST(Keyring, documentHoldsTheDigestOnly)
{
    const GrantedKey granted = grantKey(random, WorkspaceName("north"), "for \"ä\" and \xff");
    const std::string document = formatKeyDocument({granted.record});
    CHECK(document.find(granted.key) == std::string::npos);
    LONGS_EQUAL(3 + 64, granted.key.size());
    const auto records = parseKeyDocument(document);
    LONGS_EQUAL(1, records.value().size());
    STRCMP_EQUAL(sha256Hex(granted.key).c_str(), records.value()[0].digest.c_str());
    CHECK(records.value()[0].id == granted.record.id);
    CHECK(parseKeyDocument(formatKeyDocument(records.value())).value() == records.value());
    LONGS_EQUAL(0, withoutKey(records.value(), granted.record.id).size());
}

// Guards against accepting a withdrawn or unknown key, and against a new document that reverts a withdrawal.
TEST(Keyring, checksAgainstDocumentAndWithdrawals)
{
    const GrantedKey first = grantKey(random, WorkspaceName("north"), "");
    const GrantedKey second = grantKey(random, WorkspaceName("south"), "");
    CHECK(keyring->check(first.key).refusal == RefusalKind::UnknownKey);
    keyring->addWithdrawn(first.record.id);
    keyring->setRecords({first.record, second.record});
    CHECK(keyring->check(first.key).refusal == RefusalKind::WithdrawnKey);
    CHECK(keyring->check(second.key).refusal == RefusalKind::None);
    CHECK(keyring->check(second.key).workspace == WorkspaceName("south"));
    CHECK(keyring->check("").refusal == RefusalKind::UnknownKey);
    CHECK(keyring->check(second.record.digest).refusal == RefusalKind::UnknownKey);
    keyring->setRecords({first.record});
    CHECK(keyring->check(second.key).refusal == RefusalKind::UnknownKey);
    CHECK(keyring->check(first.key).refusal == RefusalKind::WithdrawnKey);
}

// Guards against accepting documents with a key that has no workspace or is ambiguous, and against errors that quote
// the content.
TEST(Keyring, invalidDocumentsAreRefused)
{
    const std::string digest(64, 'a');
    const auto document = [](const std::string &id, const std::string &keyDigest, const std::string &workspace) {
        return formatKeyDocument({{KeyId(id), keyDigest, WorkspaceName(workspace), ""}});
    };
    const std::string twice =
        formatKeyDocument({{KeyId("a"), digest, WorkspaceName("w"), ""}, {KeyId("b"), digest, WorkspaceName("w"), ""}});
    CHECK(parseKeyDocument(document("a", digest, "w")).has_value());
    for (const std::string &text : {std::string(),
                                    std::string("{}"),
                                    std::string(R"({"keys":[{"id":1}]})"),
                                    document("a", "vt_secret", "w"),
                                    document("a/b", digest, "w"),
                                    document("a", digest, ""),
                                    twice}) {
        CHECK(parseKeyDocument(text).error().kind == ErrorKind::InvalidConfiguration);
        CHECK(parseKeyDocument(text).error().text().find("vt_secret") == std::string::npos);
    }
}
