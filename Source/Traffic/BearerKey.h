#pragma once

#include "Customers/Credential.h"
#include "Http/HttpMessage.h"

#include <string>
#include <string_view>

namespace burlreach {

/** The header in which a caller brings its customer's key. */
inline constexpr std::string_view KeyField = "Authorization";

/** Reads "Authorization: Bearer KEY" and keeps the digest of the key only. */
Credential readBearerKey(const HttpFields& fields);

/** What a backend server is told of whose a request is, in place of the caller's key. */
struct CustomerWords {
    bool isKeyKept = false; // false: there are no customers, and all that the caller sent goes on
    std::string customer; // empty: nobody's
};

/** Takes the key and whatever the caller sent under this name out of the request, and names the customer there. */
void writeCustomer(HttpFields& fields, std::string_view nameField, const CustomerWords& words);

}
