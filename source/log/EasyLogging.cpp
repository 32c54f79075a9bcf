// easylogging++ ships as one source file that its users compile.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
