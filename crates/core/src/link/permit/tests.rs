use super::Permits;
use crate::contract::class::Class;
use googletest::prelude::*;

#[gtest]
fn one_class_cannot_take_the_permits_reserved_for_others() {
    for flood in Class::ALL {
        let mut permits = Permits::new(80);
        let taken = (0..1000).filter(|_| permits.take(flood)).count();
        expect_that!(taken, eq(60));
        for class in Class::ALL.into_iter().filter(|c| *c != flood) {
            let taken = (0..1000).filter(|_| permits.take(class)).count();
            expect_that!(taken, eq(10));
        }
        permits.give(flood);
        expect_that!(permits.take(flood), eq(true));
        expect_that!(permits.take(flood), eq(false));
    }
}
