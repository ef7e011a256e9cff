#include "sidecar/utf8.h"

#include <boost/locale/utf.hpp>

namespace masticpin {

bool IsUtf8(std::string_view text) {
  namespace utf = boost::locale::utf;
  for (auto it = text.begin(); it != text.end();) {
    const utf::code_point point = utf::utf_traits<char>::decode(it, text.end());
    if (point == utf::illegal || point == utf::incomplete) {
      return false;
    }
  }
  return true;
}

}  // namespace masticpin
