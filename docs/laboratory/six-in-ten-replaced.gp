set terminal svg size 900,480
set output 'six-in-ten-replaced.svg'
set title 'six-in-ten-replaced: units admitted a second, all customers (median over seeds; simulated)'
set xlabel 'seconds'
set ylabel 'units a second for each gatekeeper'
set key outside
plot 'six-in-ten-replaced-3-pool.dat' with lines title '3, pool', 'six-in-ten-replaced-3-slices.dat' with lines title '3, slices alone', 'six-in-ten-replaced-30-pool.dat' with lines title '30, pool', 'six-in-ten-replaced-30-slices.dat' with lines title '30, slices alone', 'six-in-ten-replaced-300-pool.dat' with lines title '300, pool', 'six-in-ten-replaced-300-slices.dat' with lines title '300, slices alone'
