#pragma once

#include "Customers/Credential.h"
#include "Http/HttpMessage.h"

#include <string>
#include <string_view>

namespace burlreach {

/** The header field in which a caller sends its customer's key. */
inline constexpr std::string_view KeyField = "Authorization";

/** Reads "Authorization: Bearer KEY". The result holds the digest of the key, never the key itself. */
Credential readBearerKey(const HttpFields& fields);

/** The customer that is named to a backend server in place of the caller's key. */
struct ForwardedCustomer {
    bool withholdsKey = false; // false: no customers are configured, and the caller's fields are forwarded unchanged
    std::string customer; // empty: the request belongs to no customer
};

/**
 * Removes the key from the request and sets the field nameField to the
 * customer's name. A value that the caller sent in that field is removed.
 */
void writeCustomer(HttpFields& fields, std::string_view nameField, const ForwardedCustomer& forwarded);

}
