//! Prints the fault matrix.

use masticlock_scenario::matrix::{self, Matrix};

fn main() {
    print!("{}", matrix::page(&Matrix::run()));
}
