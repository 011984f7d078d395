# Language level, warnings and the sanitizer builds.
set(CMAKE_CXX_STANDARD 17)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

# Paths in diagnostics and debug records are relative to the source tree, so
# that builds in different folders share compiler cache entries.
add_compile_options(-Wall -Wextra -Wpedantic -Werror
                    -ffile-prefix-map=${PROJECT_SOURCE_DIR}=.)

# "address" for AddressSanitizer with UBSan, "thread" for ThreadSanitizer.
set(LYCHEESTEP_SANITIZE "" CACHE STRING "Sanitizer: address, thread or none")
if(LYCHEESTEP_SANITIZE STREQUAL "address")
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
elseif(LYCHEESTEP_SANITIZE STREQUAL "thread")
  add_compile_options(-fsanitize=thread)
  add_link_options(-fsanitize=thread)
endif()

find_program(LYCHEESTEP_CCACHE ccache)
if(LYCHEESTEP_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${LYCHEESTEP_CCACHE})
endif()
