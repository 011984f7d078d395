# lycheestep_test(NAME LIBRARY...): builds NAME.cpp, which stands beside the
# code that it tests, and registers it with CTest.
function(lycheestep_test aName)
  if(NOT LYCHEESTEP_TESTS)
    return()
  endif()
  add_executable(${aName} ${aName}.cpp)
  target_link_libraries(${aName} PRIVATE ${ARGN} GTest::gmock_main
                        ${RAPIDCHECK_LIBRARY})
  add_test(NAME ${aName} COMMAND ${aName})
  # Property tests draw the same cases in every run.
  set_tests_properties(${aName} PROPERTIES ENVIRONMENT RC_PARAMS=seed=20250601)
endfunction()
