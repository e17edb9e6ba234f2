# gnuplot docs/experiments/silence.gp, from the repository's root
set terminal svg size 720,400 font "sans,12" background "white"
set output "docs/experiments/silence.svg"
set title "When to call a silent stream lost (simulated servers)"
set xlabel "silence-at-least, s"
set ylabel "longest gap of an answer, p99, s"
set y2label "streams moved"
set ytics nomirror
set y2tics
set yrange [0:5]
set y2range [0:120]
set key bottom right
plot "docs/experiments/silence.dat" using 1:4:6 with filledcurves fc rgb "#c8d8e8" title "gap, least to most of 3 seeds", \
     "" using 1:5 with linespoints lc rgb "#20507a" dt 1 pt 7 title "gap, middle seed", \
     "" using 1:2 axes x1y2 with linespoints lc rgb "#a04020" dt 2 pt 5 title "streams moved (right)"
