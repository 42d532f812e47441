#include "secure_random.hpp"

#include <glog/logging.h>
#include <openssl/rand.h>

namespace geraniumpin {

SecureRandom::result_type
SecureRandom::operator()()
{
  if (next_ == kBatchSize) {
    const int filled = RAND_bytes(reinterpret_cast<unsigned char*>(batch_.data()), sizeof batch_);
    CHECK_EQ(filled, 1) << "event=random_failed";
    next_ = 0;
  }
  return batch_[next_++];
}

} // namespace geraniumpin
