// Keys of earlier releases in the lists of client accounts and plans.

#ifndef CICADADRUM_CONFIGURATION_EARLIER_KEYS_H_
#define CICADADRUM_CONFIGURATION_EARLIER_KEYS_H_

#include <string>

#include <boost/leaf.hpp>

namespace cicadadrum {

// Returns `text`, a JSON document that may contain comments, with the key
// `customers` of earlier releases replaced by `client_accounts`. Logs a warning
// the first time that this happens in the process. Error: kInvalidConfiguration
// with the line, if the document has both keys.
boost::leaf::result<std::string> ReplaceEarlierKeys(const std::string& text,
                                                    const std::string& source);

}  // namespace cicadadrum

#endif  // CICADADRUM_CONFIGURATION_EARLIER_KEYS_H_
