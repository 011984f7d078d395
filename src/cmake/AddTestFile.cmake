# lycheestep_test(NAME LIBRARY...): builds NAME.cpp, which stands beside the
# code that it tests, and registers it with CTest.
function(lycheestep_test aName)
  add_executable(${aName} ${aName}.cpp)
  target_link_libraries(${aName} PRIVATE ${ARGN} GTest::gmock_main
                        ${RAPIDCHECK_LIBRARY})
  add_test(NAME ${aName} COMMAND ${aName})
endfunction()
