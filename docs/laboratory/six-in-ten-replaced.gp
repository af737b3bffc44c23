set terminal svg size 900,480
set output 'six-in-ten-replaced.svg'
set title 'six-in-ten-replaced: what heavy customers get of their quota (median over seeds; simulated)'
set xlabel 'seconds'
set ylabel 'units admitted a second over the quota'
set yrange [0:*]
set key outside
plot 1 dashtype 2 title 'quota', 'six-in-ten-replaced-3-pool.dat' with lines title '3, pool', 'six-in-ten-replaced-3-slices.dat' with lines title '3, slices alone', 'six-in-ten-replaced-30-pool.dat' with lines title '30, pool', 'six-in-ten-replaced-30-slices.dat' with lines title '30, slices alone', 'six-in-ten-replaced-300-pool.dat' with lines title '300, pool', 'six-in-ten-replaced-300-slices.dat' with lines title '300, slices alone'
