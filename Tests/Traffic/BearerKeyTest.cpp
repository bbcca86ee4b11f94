// A caller's key must not reach a backend server, and the customer's name sent
// there must be the one that the instance looked up, never one that the caller
// claimed.

#include "Traffic/BearerKey.h"
#include "HeaderDialect.h"
#include "Traffic/NativeTrafficDialect.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

namespace http = boost::beast::http;

using Kind = Credential::Kind;
using Fields = std::vector<std::pair<std::string, std::string>>;

struct Case {
    const char* name;
    Fields fields;
    Kind kind;
};

const std::vector<Case> Cases{
    { "none", {}, Kind::None },
    { "a key", { { "Authorization", "Bearer k1" } }, Kind::Key },
    { "upper and lower case", { { "AUTHORIZATION", "bEARER k1" } }, Kind::Key },
    { "several blanks", { { "Authorization", "Bearer   k1" } }, Kind::Key },
    { "all characters that a key may have", { { "Authorization", "Bearer aZ09-._~+/==" } }, Kind::Key },
    { "no blank", { { "Authorization", "Bearerk1" } }, Kind::Unreadable },
    { "no key", { { "Authorization", "Bearer" } }, Kind::Unreadable },
    { "blanks only", { { "Authorization", "Bearer   " } }, Kind::Unreadable },
    { "empty", { { "Authorization", "" } }, Kind::Unreadable },
    { "another scheme", { { "Authorization", "Basic k1" } }, Kind::Unreadable },
    { "a tab", { { "Authorization", "Bearer\tk1" } }, Kind::Unreadable },
    { "two words", { { "Authorization", "Bearer k1 k2" } }, Kind::Unreadable },
    { "two values", { { "Authorization", "Bearer k1, Bearer k2" } }, Kind::Unreadable },
    { "two fields", { { "Authorization", "Bearer k1" }, { "authorization", "Bearer k1" } }, Kind::Unreadable },
    { "quotes", { { "Authorization", "Bearer \"k1\"" } }, Kind::Unreadable },
    { "bytes beyond ASCII", { { "Authorization", "Bearer k\x80\xff" } }, Kind::Unreadable },
    { "a long key", { { "Authorization", "Bearer " + std::string(4096, 'k') } }, Kind::Key },
    { "a key of 8 KB", { { "Authorization", "Bearer " + std::string(8192, 'k') } }, Kind::Unreadable },
};

/** A dialect and the field in which it names the customer to backend servers. */
struct DialectForm {
    std::shared_ptr<TrafficDialect> dialect;
    std::string customerField;
};

const std::vector<DialectForm> DialectForms{
    { std::make_shared<NativeTrafficDialect>(), "Burlreach-Customer" },
    { std::make_shared<platform::HeaderDialect>(), "Tenant-Id" },
};

HttpRequest requestWith(const Fields& fields)
{
    HttpRequest request(http::verb::get, "/", 11);
    for (const auto& [name, value] : fields)
        request.insert(name, value);
    return request;
}

}

TEST_GROUP(BearerKey){};

TEST(BearerKey, IsReadOnlyFromOneWellFormedField)
{
    for (const Case& item : Cases) {
        for (const DialectForm& form : DialectForms) {
            const Credential credential = form.dialect->readCaller(requestWith(item.fields)).credential;
            CHECK_TEXT(credential.kind == item.kind, item.name);
        }
    }
    CHECK(readBearerKey(requestWith({ { "Authorization", "Bearer k1" } })).key == digestOfKey("k1"));
}

TEST(BearerKey, RemovesKeyAndClaimedNameIfThereAreCustomers)
{
    for (const DialectForm& form : DialectForms) {
        const std::string& field = form.customerField;
        std::string upperCase = field;
        for (char& letter : upperCase)
            letter = static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
        const Fields sent{ { "Authorization", "Bearer k1" }, { "AUTHORIZATION", "Basic k1" }, { field, "other" },
            { upperCase, "another" }, { "Accept", "text/plain" } };
        for (const char* customer : { "acme", "" }) {
            HttpRequest request = requestWith(sent);
            form.dialect->writeAttempt(request,
                { .backendServer = "s1",
                    .timeLeft = { 100 },
                    .customer = { .withholdsKey = true, .customer = customer } });
            const std::string bytes = encode(request);
            CHECK_TEXT(bytes.find("k1") == std::string::npos, bytes.c_str());
            CHECK_TEXT(bytes.find("other") == std::string::npos, bytes.c_str());
            STRCMP_EQUAL(customer, std::string(valueOf(request, field)).c_str());
            LONGS_EQUAL(*customer ? 1 : 0, request.count(field));
            CHECK(bytes.find("text/plain") != std::string::npos);
        }
    }
}

TEST(BearerKey, ForwardsFieldsUnchangedWithoutCustomers)
{
    for (const DialectForm& form : DialectForms) {
        HttpRequest request = requestWith({ { "Authorization", "Basic abc" }, { form.customerField, "x" } });
        form.dialect->writeAttempt(request, { .backendServer = "s1", .timeLeft = { 100 } });
        STRCMP_EQUAL("Basic abc", std::string(valueOf(request, "Authorization")).c_str());
        STRCMP_EQUAL("x", std::string(valueOf(request, form.customerField)).c_str());
    }
}

TEST(BearerKey, RefusalsHaveAStatusAndRetryAfter)
{
    struct Told {
        RefusalReason reason;
        RefusedOutcome outcome;
        unsigned status;
        bool hasTime;
    };
    const std::vector<Told> cases{
        { RefusalReason::KeyMissing, RefusedOutcome::NotRun, 401, false },
        { RefusalReason::KeyUnknown, RefusedOutcome::NotRun, 401, false },
        { RefusalReason::KeyUnknown, RefusedOutcome::Unknown, 502, true },
        { RefusalReason::QuotaExceeded, RefusedOutcome::NotRun, 429, true },
        { RefusalReason::QuotaUnconfirmed, RefusedOutcome::NotRun, 503, true },
        { RefusalReason::QuotaUnconfirmed, RefusedOutcome::Unknown, 502, true },
    };
    const platform::HeaderDialect dialect;
    for (const Told& item : cases) {
        const HttpResponse response = dialect.makeRefusal(
            { .request = 1, .outcome = item.outcome, .reason = item.reason, .retryAfter = { 250 } }, "r-1");
        LONGS_EQUAL(item.status, response.result_int());
        CHECK_EQUAL(item.hasTime, !valueOf(response, "Retry-After").empty());
        CHECK_EQUAL(item.status == 401, !valueOf(response, "WWW-Authenticate").empty());
    }
}
