#ifndef LYCHEESTEP_BENCH_GROUP_SHARE_H
#define LYCHEESTEP_BENCH_GROUP_SHARE_H

namespace lycheestep::bench {

// What a class or team asked for and got during a flood, as dominant share of
// the cell times seconds.
struct GroupShare
{
  double m_floor = 0.0;
  double m_asked = 0.0;
  double m_got = 0.0;
  // What its running tasks held over the flood.
  double m_held = 0.0;
  // True when one of its own kinds floods.
  bool m_flooding = false;

  // What it kept of its floor in aSeconds: all of it when its tasks held the
  // floor throughout, else the part served of the smaller of the floor and of
  // what it asked for.
  double Kept(double aSeconds) const;
};

} // namespace lycheestep::bench

#endif
